package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * The first report that lists the next run of a long-running task after the end or the
 * loss of its last one.
 *
 * @param host the host of the run
 * @param duration the time since the end or the loss of the last run, as far as this
 * leader knows
 * @param inherited whether the time counts from the moment at which this leader read the
 * task, since it has not seen the last run
 * @param evidence the report that lists the run
 */
public record RegainedTask(String host, Duration duration, boolean inherited, Evidence evidence) {

}
