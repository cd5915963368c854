/**
 * HTTP interface for operators: submission and status of release notes, and views of the
 * deployment's state. Every entry (a process that receives and routes the requests of
 * callers) serves it; views of batch work come from the schedulers.
 */
@NullMarked
package org.crocuspost.operations;

import org.jspecify.annotations.NullMarked;
