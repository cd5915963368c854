package org.crocuspost.scheduler;

/**
 * Describes why tasks of a job wait.
 *
 * @param reason the reason
 * @param detail the explanation for operators, with the values at hand
 */
public record JobWait(WaitReason reason, String detail) {
}
