package org.crocuspost.standin.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.Resources;

/**
 * What a task truly does, whatever its job declares.
 *
 * @param runTime the run time without throttling
 * @param used the resources in use while it runs
 * @param fails whether it ends with an error instead of success
 */
public record TaskBehavior(Duration runTime, Resources used, boolean fails) {
}
