/**
 * HTTP in front of the stand-ins, so that separate processes can share them.
 */
@NullMarked
package org.crocuspost.standin.server;

import org.jspecify.annotations.NullMarked;
