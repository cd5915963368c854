package org.crocuspost.standin.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.Resources;

/**
 * Actual behavior of a simulated task, which may differ from what its job declares.
 *
 * @param runTime the run time without throttling
 * @param used the resources that the task uses while it runs
 * @param fails whether the task fails at the end of its run time
 */
public record TaskBehavior(Duration runTime, Resources used, boolean fails) {
}
