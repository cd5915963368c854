/**
 * Structured logs: events with typed names and fields, written as JSON lines.
 */
@NullMarked
package org.crocuspost.log;

import org.jspecify.annotations.NullMarked;
