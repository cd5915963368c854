/**
 * Access to versioned rows in the platform's store: conditional transactions, reads, and
 * watches that follow the changes of a table.
 */
@NullMarked
package org.crocuspost.rows;

import org.jspecify.annotations.NullMarked;
