/*
 * Threads rebuild the view concurrently, to let the sanitizer detect uses of a
 * freed view.
 */
#include <CUnit/Basic.h>
#include <fcntl.h>
#include <unistd.h>

#include "event-log.h"
#include "server.h"

#define THREADS 4
#define ROUNDS 400

static void *
rebuild(void *arg)
{
	for (int i = 0; i < ROUNDS; i++)
		server_view_rebuild(arg);
	return (NULL);
}

/* A view may be freed by another thread's rebuild once it is published. */
static void
test_rebuild(void)
{
	const char *argv[] = { "test", "--name", "d", "--domain", "a",
		"--operator-token", "t", NULL };
	g_autoptr(GError) error = NULL;
	GThread *threads[THREADS];
	struct settings set;
	struct server *server;

	CU_ASSERT_FATAL(setting_parse(&set, 7, argv, &error));
	server = server_create(&set);
	for (int i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("rebuild", rebuild, server);
	for (int i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	CU_ASSERT(server->view != NULL);
	server_free(server);
	setting_free(&set);
}

int
main(void)
{
	int null = open("/dev/null", O_WRONLY);
	CU_pSuite suite;
	int failures;

	/*
	 * The log line of a rebuild is written too: it once read a view that
	 * another thread had freed.
	 */
	event_log_open("test", LOG_DEBUG);
	if (null < 0 || dup2(null, STDERR_FILENO) < 0)
		return (1);
	if (CU_initialize_registry() != CUE_SUCCESS)
		return (1);
	suite = CU_add_suite("rebuild", NULL, NULL);
	CU_add_test(suite, "four threads", test_rebuild);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = (int)CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures > 0);
}
