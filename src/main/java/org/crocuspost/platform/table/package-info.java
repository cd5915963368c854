/**
 * Defines the interface of the platform's transactional table service, which stores
 * versioned rows, and its HTTP client.
 */
@NullMarked
package org.crocuspost.platform.table;

import org.jspecify.annotations.NullMarked;
