/**
 * Runs a whole deployment in one process, with in-memory stand-ins for the services of
 * the platform. It is meant for trials and tests.
 */
@NullMarked
package org.crocuspost.local;

import org.jspecify.annotations.NullMarked;
