package org.crocuspost.standin.server;

import java.util.Objects;

import org.crocuspost.platform.worker.WorkerRuntime;

/**
 * Worker runtime and the name under which it is served.
 *
 * @param name the name of the worker
 * @param runtime the runtime
 */
public record NamedWorker(String name, WorkerRuntime runtime) {

	public NamedWorker {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(runtime, "runtime");
	}

}
