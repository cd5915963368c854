/**
 * In-memory stand-in of an endpoint, with a ledger and switches for faults.
 */
@NullMarked
package org.crocuspost.standin.endpoint;

import org.jspecify.annotations.NullMarked;
