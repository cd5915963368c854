package org.crocuspost.operations;

/**
 * A batch job with its progress.
 *
 * @param name the name
 * @param team the team
 * @param tasks the number of tasks
 * @param pending the number of tasks that wait
 * @param running the number of tasks that may run
 * @param succeeded the number of tasks that completed their work
 * @param failed the number of tasks that failed for good or were cancelled
 * @param reason why tasks wait; empty if none waits
 */
public record JobView(String name, String team, int tasks, int pending, int running, int succeeded, int failed,
		String reason) {
}
