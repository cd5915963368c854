/**
 * Schedules batch tasks on workers: claims waiting tasks for workers, sends task commands
 * to the agents and reconciles the stored task rows with the reports of the workers. Each
 * failure domain is scheduled by the one scheduler that holds its lease.
 */
@NullMarked
package org.crocuspost.scheduler;

import org.jspecify.annotations.NullMarked;
