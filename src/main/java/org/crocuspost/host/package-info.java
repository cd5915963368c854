/**
 * The agent beside a worker: it alone gives the worker orders, on behalf of the leader.
 */
@NullMarked
package org.crocuspost.host;

import org.jspecify.annotations.NullMarked;
