package org.crocuspost.daemon;

import java.util.random.RandomGenerator;

import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.objects.HttpObjectStore;
import org.crocuspost.platform.table.HttpTableService;
import org.crocuspost.platform.worker.HttpWorkerRuntime;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.settings.AgentSettings;
import org.crocuspost.settings.PlatformSettings;
import org.crocuspost.store.ProtectedObjectStore;
import org.crocuspost.store.ProtectedTableService;
import org.crocuspost.store.ProtectionSettings;
import org.crocuspost.store.StoreProtection;
import org.crocuspost.time.Clock;

/**
 * Creates HTTP clients for the services of the platform. Calls to each store go through a
 * circuit breaker.
 */
final class PlatformClient implements AutoCloseable {

	private final PlatformSettings settings;

	private final BlockingHttpClient http;

	/**
	 * Creates a client.
	 * @param settings the addresses and limits of the platform services
	 */
	PlatformClient(PlatformSettings settings) {
		this.settings = settings;
		this.http = new BlockingHttpClient(settings.limits());
	}

	/**
	 * Creates clients for the platform's stores.
	 * @param clock the clock that measures how long a circuit breaker stays open
	 * @param random the source of random delays between attempts to close a circuit
	 * breaker
	 * @return the stores
	 */
	PlatformStores stores(Clock clock, RandomGenerator random) {
		ProtectedTableService table = new ProtectedTableService(new HttpTableService(this.http, this.settings.table()),
				new StoreProtection(ProtectionSettings.DEFAULT, clock, random));
		ProtectedObjectStore objects = new ProtectedObjectStore(new HttpObjectStore(this.http, this.settings.objects()),
				new StoreProtection(ProtectionSettings.DEFAULT, clock, random));
		return new PlatformStores(table, objects);
	}

	/**
	 * Creates a client for the runtime of a worker.
	 * @param worker the worker
	 * @return the runtime
	 */
	WorkerRuntime runtime(AgentSettings.Worker worker) {
		return new HttpWorkerRuntime(this.http, worker.runtime(), worker.name());
	}

	@Override
	public void close() {
		this.http.close();
	}

}
