/* Whether a request may still be sent while its daemon drains. Pure. */
#include "fwd-drain-admit.h"

/**
 * fwd_drain_admits() - whether a request may still be sent.
 * @window: times of the shutdown
 * @request: the request
 *
 * A deadline bounds the request itself. How long others took doesn't, so that
 * counts only while load balancers still send clients here.
 */
bool
fwd_drain_admits(const struct fwd_drain_window *window,
    const struct fwd_drain_request *request)
{
	double left_ms;

	if (request->deadline_ms <= window->end_ms)
		return (true);
	if (request->now_ms >= window->estimate_until_ms)
		return (false);
	left_ms = (double)window->end_ms - (double)request->now_ms;
	return (request->usual_ms <= left_ms);
}
