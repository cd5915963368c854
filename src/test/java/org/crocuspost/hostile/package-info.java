/**
 * Tests that the hosted programs survive clients that send requests in harmful ways.
 */
@NullMarked
package org.crocuspost.hostile;

import org.jspecify.annotations.NullMarked;
