/**
 * Management of batch tasks by the agent of a worker: reports to the scheduler, task
 * leases and task commands.
 */
@NullMarked
package org.crocuspost.worker;

import org.jspecify.annotations.NullMarked;
