/**
 * Service-level burn: counts per service and minute, burn rates and reports.
 */
@NullMarked
package org.crocuspost.report;

import org.jspecify.annotations.NullMarked;
