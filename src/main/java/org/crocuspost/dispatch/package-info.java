/**
 * Scheduling decisions for batch jobs and long-running services: the order of waiting
 * jobs, the worker for each task, and the handling of runs that end or are lost. Takes
 * events and the time and returns orders; performs no input or output.
 *
 * <p>
 * A run is one numbered execution of a task. A filler is a batch task that uses capacity
 * which services leave idle. The pace of a run is the execution rate that it is allowed,
 * in percent of full speed. The pressure on a worker is the worst ratio of the tail
 * latency of a service there to its target.
 */
@NullMarked
package org.crocuspost.dispatch;

import org.jspecify.annotations.NullMarked;
