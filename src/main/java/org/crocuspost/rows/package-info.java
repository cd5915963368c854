/**
 * Versioned rows in the platform's store: conditional transactions and watched tables.
 */
@NullMarked
package org.crocuspost.rows;

import org.jspecify.annotations.NullMarked;
