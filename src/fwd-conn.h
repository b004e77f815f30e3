/* A caller's connection: reads requests one by one, writes their answers. */
#ifndef BL_FWD_CONN_H
#define BL_FWD_CONN_H

#include "fwd.h"
#include "net-head.h"
#include "net-stream.h"

/**
 * struct fwd_conn - one connection.
 * @stream: the connection
 * @fwd: the engine
 * @parser: of the request
 * @head: of the request
 * @body: of the request
 * @pipelined: bytes that came after the request in progress
 * @out: answer bytes not yet handed to the connection
 * @exchange: the request in progress, or NULL
 * @since_ms: loop time at which the connection or request began to wait
 * @head_only: the method is HEAD
 * @keep_alive: the connection may carry another request
 * @complete: a request was read whole
 * @started: bytes of a request have come
 * @chunked: the answer is sent in chunks
 * @error_status: the request is refused with this status; 0 for none
 * @entry: in the engine's list
 */
struct fwd_conn {
	struct net_stream stream;
	struct fwd *fwd;
	http_parser parser;
	struct net_head head;
	GByteArray *body;
	GString *pipelined;
	GString *out;
	struct fwd_exchange *exchange;
	uint64_t since_ms;
	bool head_only;
	bool keep_alive;
	bool complete;
	bool started;
	bool chunked;
	unsigned error_status;
	TAILQ_ENTRY(fwd_conn) entry;
};

void fwd_conn_accept(struct fwd *, uv_stream_t *);
void fwd_conn_respond(struct fwd_conn *, unsigned, const char *, const void *,
    size_t);
void fwd_conn_refuse(struct fwd_conn *, unsigned, const char *, int64_t);
void fwd_conn_begin(struct fwd_conn *, unsigned, const char *);
void fwd_conn_write(struct fwd_conn *, const void *, size_t);
void fwd_conn_flush(struct fwd_conn *);
void fwd_conn_end(struct fwd_conn *);
void fwd_conn_abort(struct fwd_conn *);
void fwd_conn_tick(struct fwd_conn *, uint64_t);

#endif
