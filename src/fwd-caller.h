/* A client's connection: reads requests one by one, writes their responses. */
#ifndef BL_FWD_CALLER_H
#define BL_FWD_CALLER_H

#include "fwd.h"
#include "net-head.h"
#include "net-stream.h"

/**
 * struct fwd_caller - a client's connection.
 * @stream: the connection's byte stream
 * @fwd: the proxy
 * @parser: parser of requests
 * @head: request line and headers of the request being read
 * @body: body of the request being read
 * @held: pipelined bytes that came after the request in progress
 * @out: response bytes not yet passed to @stream
 * @exchange: the request in progress, or NULL
 * @since_ms: loop time from which the idle and header timeouts count: the
 *	accept, the first byte of a request or the end of a response
 * @head_only: the method is HEAD
 * @keep: the connection may carry another request
 * @whole: a complete request was read
 * @began: part of a request was read
 * @chunked: the response uses chunked transfer coding
 * @bad_status: status with which an invalid request is refused; 0 for none
 * @entry: entry in the proxy's list
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
