/**
 * Interfaces to the platform on which crocuspost runs: the table service, the object
 * store and the worker runtimes. A worker is the part of a host that runs batch tasks,
 * beside an endpoint of a service.
 */
@NullMarked
package org.crocuspost.platform;

import org.jspecify.annotations.NullMarked;
