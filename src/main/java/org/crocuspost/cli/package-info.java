/**
 * The operators' command line.
 */
@NullMarked
package org.crocuspost.cli;

import org.jspecify.annotations.NullMarked;
