/**
 * The platform's worker runtime that starts and stops tasks: interface and adapters.
 */
@NullMarked
package org.crocuspost.platform.worker;

import org.jspecify.annotations.NullMarked;
