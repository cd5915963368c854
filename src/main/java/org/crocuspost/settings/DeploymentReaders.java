package org.crocuspost.settings;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.crocuspost.json.JsonFaults;
import org.crocuspost.json.LocatedValue;
import org.crocuspost.json.LocatedValue.ArrayValue;
import org.crocuspost.json.MemberReader;
import org.crocuspost.json.ValueReader;
import org.crocuspost.json.ValueReaders;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.settings.DeploymentSettings.ControlProcess;
import org.crocuspost.settings.DeploymentSettings.EndpointStandIn;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;

/**
 * Readers of the settings of a deployment in one process.
 */
final class DeploymentReaders {

	private static final Duration DEFAULT_SERVICE_TIME = Duration.ofMillis(5);

	private static final EndpointStandIn NO_ENDPOINT = new EndpointStandIn("", "", 1, 1, DEFAULT_SERVICE_TIME);

	private static final ValueReader<String> FILE = ValueReaders.string(Pattern.compile("[A-Za-z0-9._-]{1,255}"),
			"the name of a file beside the settings");

	private DeploymentReaders() {
	}

	static Optional<DeploymentSettings> deployment(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		java.net.InetSocketAddress callers = members.optional("callers", CommonReaders.ADDRESS,
				CommonReaders.NO_ADDRESS);
		java.net.InetSocketAddress operators = members.optional("operators", CommonReaders.ADDRESS,
				CommonReaders.NO_ADDRESS);
		Secret secret = members.required("secret", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		Secret token = members.required("operatorToken", CommonReaders.SECRET, CommonReaders.NO_SECRET);
		List<String> domains = members.required("failureDomains", CommonReaders.NAMES, List.of());
		ValueReader<ControlProcess> process = inDomain(domains, DeploymentReaders::process,
				ControlProcess::failureDomain);
		ValueReader<WorkerHost> worker = inDomain(domains, DeploymentReaders::worker, WorkerHost::failureDomain);
		List<ControlProcess> entries = members.required("entries", unique(process, ControlProcess::name), List.of());
		List<ControlProcess> schedulers = members.required("schedulers", unique(process, ControlProcess::name),
				List.of());
		List<WorkerHost> workers = members.required("workers", unique(worker, WorkerHost::name), List.of());
		String note = members.optional("note", FILE, "note.json");
		members.reportUnknownMembers();
		checkRacks(members, workers, faults);
		checkEndpoints(members, workers, faults);
		return Optional.of(new DeploymentSettings(name, callers, operators, secret, token, domains, entries, schedulers,
				workers, note));
	}

	private static <T> ValueReader<T> inDomain(List<String> domains, ValueReader<T> reader,
			Function<T, String> domain) {
		return (value, faults) -> {
			Optional<T> result = reader.read(value, faults);
			result.map(domain)
				.filter((found) -> !found.isEmpty() && !domains.isEmpty() && !domains.contains(found))
				.ifPresent((found) -> faults.add(value, "the failure domain \"" + found + "\"",
						"one of " + String.join(", ", domains)));
			return result;
		};
	}

	private static <T> ValueReader<List<T>> unique(ValueReader<T> reader, Function<T, String> name) {
		return (value, faults) -> {
			Set<String> seen = new HashSet<>();
			ValueReader<T> checked = (element, found) -> {
				Optional<T> result = reader.read(element, found);
				result.map(name)
					.filter((text) -> !text.isEmpty() && !seen.add(text))
					.ifPresent(
							(text) -> found.add(element, "the name \"" + text + "\" a second time", "each name once"));
				return result;
			};
			if (value instanceof ArrayValue array && array.elements().isEmpty()) {
				faults.add(value, "an empty array", "at least one element");
			}
			return ValueReaders.list(checked).read(value, faults);
		};
	}

	private static Optional<ControlProcess> process(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		ControlProcess process = new ControlProcess(members.required("name", CommonReaders.NAME, ""),
				members.required("failureDomain", CommonReaders.NAME, ""));
		members.reportUnknownMembers();
		return Optional.of(process);
	}

	private static Optional<WorkerHost> worker(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String name = members.required("name", CommonReaders.NAME, "");
		String domain = members.required("failureDomain", CommonReaders.NAME, "");
		String rack = members.required("rack", CommonReaders.NAME, "");
		Resources capacity = members.required("capacity", CommonReaders.RESOURCES, Resources.NONE);
		Resources reserved = members.required("reservedForService", CommonReaders.RESOURCES, Resources.NONE);
		EndpointStandIn endpoint = members.required("endpoint", DeploymentReaders::endpoint, NO_ENDPOINT);
		members.reportUnknownMembers();
		AgentReaders.checkReserved(members, capacity, reserved, faults);
		return Optional.of(new WorkerHost(name, domain, rack, capacity, reserved, endpoint));
	}

	private static Optional<EndpointStandIn> endpoint(LocatedValue value, JsonFaults faults) {
		MemberReader members = MemberReader.of(value, faults);
		String id = members.required("id", CommonReaders.NAME, "");
		String service = members.required("service", CommonReaders.NAME, "");
		int slots = members.optional("slots", CommonReaders.count(1, AgentReaders.MOST_SLOTS),
				AgentSettings.Endpoint.DEFAULT_SLOTS);
		int connections = members.optional("connections", CommonReaders.count(1, AgentReaders.MOST_SLOTS),
				AgentSettings.Endpoint.DEFAULT_CONNECTIONS);
		Duration serviceTime = members.optional("serviceTime", CommonReaders.duration(), DEFAULT_SERVICE_TIME);
		members.reportUnknownMembers();
		AgentReaders.checkConnections(members, slots, connections, faults);
		return Optional.of(new EndpointStandIn(id, service, slots, connections, serviceTime));
	}

	private static void checkRacks(MemberReader members, List<WorkerHost> workers, JsonFaults faults) {
		Map<String, String> domainsByRack = new HashMap<>();
		for (WorkerHost worker : workers) {
			String domain = domainsByRack.putIfAbsent(worker.rack(), worker.failureDomain());
			if (domain != null && !domain.equals(worker.failureDomain())) {
				faults.add(members.locate("workers"),
						"rack " + worker.rack() + " in " + domain + " and in " + worker.failureDomain(),
						"each rack in one failure domain");
			}
		}
	}

	private static void checkEndpoints(MemberReader members, List<WorkerHost> workers, JsonFaults faults) {
		Set<String> seen = new HashSet<>();
		for (WorkerHost worker : workers) {
			String id = worker.endpoint().id();
			if (!id.isEmpty() && !seen.add(id)) {
				faults.add(members.locate("workers"), "the endpoint \"" + id + "\" a second time",
						"each endpoint once");
			}
		}
	}

}
