/**
 * HTTP server for the stand-ins, through which separate processes can share them.
 */
@NullMarked
package org.crocuspost.standin.server;

import org.jspecify.annotations.NullMarked;
