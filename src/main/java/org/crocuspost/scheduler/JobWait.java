package org.crocuspost.scheduler;

/**
 * Why tasks of a job wait, with the numbers.
 *
 * @param reason the reason
 * @param detail the numbers in plain English
 */
public record JobWait(WaitReason reason, String detail) {
}
