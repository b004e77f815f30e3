/* A caller's connection: reads requests one by one, writes their answers. */
#ifndef BL_FWD_CALLER_H
#define BL_FWD_CALLER_H

#include "fwd.h"
#include "net-head.h"
#include "net-stream.h"

/**
 * struct fwd_caller - one connection.
 * @stream: the connection
 * @fwd: the engine
 * @parser: of the request
 * @head: of the request
 * @body: of the request
 * @held: bytes that came after the request in progress
 * @out: answer bytes not yet handed to the connection
 * @exchange: the request in progress, or NULL
 * @since_ms: loop time at which the connection or request began to wait
 * @head_only: the method is HEAD
 * @keep: the connection may carry another request
 * @whole: a request was read whole
 * @began: bytes of a request have come
 * @chunked: the answer is sent in chunks
 * @bad_status: the request is refused with this status; 0 for none
 * @entry: in the engine's list
 */
struct fwd_caller {
	struct net_stream stream;
	struct fwd *fwd;
	http_parser parser;
	struct net_head head;
	GByteArray *body;
	GString *held;
	GString *out;
	struct fwd_exchange *exchange;
	uint64_t since_ms;
	bool head_only;
	bool keep;
	bool whole;
	bool began;
	bool chunked;
	unsigned bad_status;
	TAILQ_ENTRY(fwd_caller) entry;
};

void fwd_caller_accept(struct fwd *, uv_stream_t *);
void fwd_caller_answer(struct fwd_caller *, unsigned, const char *,
    const void *, size_t);
void fwd_caller_refuse(struct fwd_caller *, unsigned, const char *, int64_t);
void fwd_caller_begin(struct fwd_caller *, unsigned, const char *);
void fwd_caller_piece(struct fwd_caller *, const void *, size_t);
void fwd_caller_flush(struct fwd_caller *);
void fwd_caller_end(struct fwd_caller *);
void fwd_caller_abort(struct fwd_caller *);
void fwd_caller_tick(struct fwd_caller *, uint64_t);

#endif
