/**
 * Error budget burn of services: request counts per minute, burn rates and reports. The
 * error budget is the share of requests that may miss an objective; the burn rate is how
 * fast it is used up.
 */
@NullMarked
package org.crocuspost.report;

import org.jspecify.annotations.NullMarked;
