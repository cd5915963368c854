/**
 * In-memory stand-ins for what the platform and the users bring.
 */
@NullMarked
package org.crocuspost.standin;

import org.jspecify.annotations.NullMarked;
