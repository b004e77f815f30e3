/* Samples of the demand in scripted tests of the planner. */
#ifndef TESTS_PLANNER_SAMPLES_H
#define TESTS_PLANNER_SAMPLES_H

#include "planner-peak.h"

void planner_samples_reset(void);
void planner_samples_use_peaks(void);
void planner_samples_apply(struct planner_view *);
void planner_samples_exec(const char *, GString *);
void planner_samples_exec_sums(const char *, GString *);
void planner_samples_exec_take_over(const char *, GString *);

/* test-planner.c */
void planner_script_view(struct planner_view *);

#endif
