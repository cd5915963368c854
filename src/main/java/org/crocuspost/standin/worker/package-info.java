/**
 * In-memory stand-in for the platform's worker runtime.
 */
@NullMarked
package org.crocuspost.standin.worker;

import org.jspecify.annotations.NullMarked;
