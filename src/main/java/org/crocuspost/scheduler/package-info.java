/**
 * Scheduler of batch tasks: claims, commands, reconciliation and status.
 */
@NullMarked
package org.crocuspost.scheduler;

import org.jspecify.annotations.NullMarked;
