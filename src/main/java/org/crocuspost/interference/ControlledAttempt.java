package org.crocuspost.interference;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;

/**
 * Batch attempt that is running on the worker.
 *
 * @param key the attempt
 * @param job the name of its job
 * @param reserved the resources that are reserved for it
 */
public record ControlledAttempt(AttemptKey key, String job, Resources reserved) {
}
