/**
 * Batch jobs and long-running services: what callers submit, and the progress of each
 * job.
 */
@NullMarked
package org.crocuspost.job;

import org.jspecify.annotations.NullMarked;
