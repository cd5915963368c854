/**
 * Stand-ins for the platform in tests and on a laptop, with switches for its faults.
 */
@NullMarked
package org.crocuspost.standin;

import org.jspecify.annotations.NullMarked;
