/**
 * In-memory stand-in for the platform's table service.
 */
@NullMarked
package org.crocuspost.standin.table;

import org.jspecify.annotations.NullMarked;
