/**
 * Structured logging: events with typed names and named fields, written to standard
 * output as one line of JSON each.
 */
@NullMarked
package org.crocuspost.log;

import org.jspecify.annotations.NullMarked;
