package org.crocuspost.operations;

/**
 * A batch job with its progress.
 *
 * @param name the name
 * @param team the team
 * @param tasks the number of tasks
 * @param pending tasks that wait
 * @param running tasks that may run
 * @param succeeded tasks that have done their work
 * @param failed tasks that were given up or cancelled
 * @param reason why tasks wait; empty if none does
 */
public record JobView(String name, String team, int tasks, int pending, int running, int succeeded, int failed,
		String reason) {
}
