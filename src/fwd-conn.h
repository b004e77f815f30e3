/* A client's connection: reads requests one by one, writes their responses. */
#ifndef BL_FWD_CONN_H
#define BL_FWD_CONN_H

#include "fwd.h"
#include "net-head.h"
#include "net-stream.h"

/**
 * struct fwd_conn - a client's connection.
 * @stream: the connection's byte stream
 * @fwd: the proxy
 * @parser: parser of requests
 * @head: request line and headers of the request being read
 * @body: body of the request being read
 * @pipelined: pipelined bytes that came after the request in progress
 * @out: response bytes not yet passed to @stream
 * @exchange: the request in progress, or NULL
 * @since_ms: loop time from which the idle and header timeouts count: the
 *	accept, the first byte of a request, the end of a response or when
 *	output last left
 * @unwritten: bytes of output that waited to be written at the last tick
 * @head_only: the method is HEAD
 * @keep_alive: the connection may carry another request
 * @complete: a complete request was read
 * @started: part of a request was read
 * @head_read: its head was read; trailers, which follow the body, are ignored
 * @chunked: the response uses chunked transfer coding
 * @error_status: status with which an invalid request is refused; 0 for none
 * @entry: entry in the proxy's list
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
	size_t unwritten;
	bool head_only;
	bool keep_alive;
	bool complete;
	bool started;
	bool head_read;
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
bool fwd_conn_idle(const struct fwd_conn *);
bool fwd_conn_receiving(const struct fwd_conn *);
void fwd_conn_refuse_unread(struct fwd_conn *, const char *, int64_t);

#endif
