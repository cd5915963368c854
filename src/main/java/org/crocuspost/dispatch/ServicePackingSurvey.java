package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the packing of the services of each pool of workers. Changes nothing.
 */
final class ServicePackingSurvey {

	private final Map<String, Pool> pools = new TreeMap<>();

	/**
	 * Adds a worker that accepts tasks.
	 * @param host its host
	 */
	void add(HostState host) {
		this.pools.computeIfAbsent(host.worker().getService(), (service) -> new Pool()).add(host);
	}

	Collection<ServicePacking> packings() {
		List<ServicePacking> packings = new ArrayList<>();
		this.pools.forEach((service, pool) -> packings.add(pool.packing(service)));
		return packings;
	}

	private static final class Pool {

		private final List<Integer> capacities = new ArrayList<>();

		private final Map<StepOccurrence, Integer> limitedTasks = new HashMap<>();

		private final Map<StepOccurrence, Integer> limits = new HashMap<>();

		private int occupied;

		private long services;

		private long others;

		private void add(HostState host) {
			this.capacities.add(host.worker().getMilliCores());
			this.occupied += host.runsService() ? 1 : 0;
			for (Placement placement : host.placements().values()) {
				int reserved = placement.task().step().reservedMilliCores();
				if (placement.task().step().tailTarget().isZero()) {
					this.others += reserved;
					continue;
				}
				this.services += reserved;
				if (placement.task().step().perWorkerLimit() > 0) {
					StepOccurrence step = StepOccurrence.of(placement.task().key());
					this.limits.put(step, placement.task().step().perWorkerLimit());
					this.limitedTasks.merge(step, 1, Integer::sum);
				}
			}
		}

		private ServicePacking packing(String service) {
			this.capacities.sort(Comparator.reverseOrder());
			long capacity = 0;
			int byCapacity = 0;
			while (byCapacity < this.capacities.size() && capacity < this.services) {
				capacity += this.capacities.get(byCapacity++);
			}
			int fewest = byCapacity;
			for (Map.Entry<StepOccurrence, Integer> limited : this.limitedTasks.entrySet()) {
				int limit = this.limits.get(limited.getKey());
				fewest = Math.max(fewest, (limited.getValue() + limit - 1) / limit);
			}
			return new ServicePacking(service, this.capacities.size(), this.occupied, fewest,
					this.capacities.stream().mapToLong(Integer::longValue).sum(), this.services, this.others);
		}

	}

}
