/**
 * The configuration in force: an immutable snapshot with a version.
 */
@NullMarked
package org.crocuspost.configuration;

import org.jspecify.annotations.NullMarked;
