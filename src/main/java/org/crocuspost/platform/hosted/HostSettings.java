package org.crocuspost.platform.hosted;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.crocuspost.net.Sockets;

/**
 * What the platform tells a process about its host.
 *
 * @param name the name of the host
 * @param ip the IP number of the host
 * @param failureDomain the failure domain of the host
 * @param callerAddress where callers connect; empty on hosts of workers
 * @param readinessAddress where the platform asks for readiness; empty on hosts of
 * workers
 * @param heartbeatAddress where the worker of the host announces itself; empty on entry
 * hosts
 * @param internalPort first of the ports for the processes of crocuspost
 * @param storeAddress the platform's store
 * @param workerAddress the worker of the host; empty on entry hosts
 * @param heartbeatInterval time between two heartbeats of a worker
 * @param limits bounds that the platform sets
 */
public record HostSettings(String name, String ip, String failureDomain, Optional<InetSocketAddress> callerAddress,
		Optional<InetSocketAddress> readinessAddress, Optional<InetSocketAddress> heartbeatAddress, int internalPort,
		InetSocketAddress storeAddress, Optional<InetSocketAddress> workerAddress, Duration heartbeatInterval,
		PlatformLimits limits) {

	/**
	 * Reads the settings file of the platform.
	 * @param file the file
	 * @return the settings
	 * @throws SettingsException with every fault of the file
	 */
	public static HostSettings of(PropertyFile file) {
		String seconds = "bounds.grace_s";
		HostSettings settings = new HostSettings(file.text("node_name"), file.text("ip"), file.text("zone"),
				file.optional("listen_addrs.frontend_addr").flatMap(file::address),
				file.optional("listen_addrs.readiness_addr").flatMap(file::address),
				file.optional("listen_addrs.control_plane").flatMap(file::address),
				(int) file.number("port_range", (text) -> Double.parseDouble(text.split(",")[0])),
				file.address(file.text("platform.address")).orElse(Sockets.address("0.0.0.0:0")),
				file.optional("app").flatMap(file::address), file.milliseconds("heartbeat_ms"),
				new PlatformLimits(file.milliseconds("bounds.max_hold_ms"), file.milliseconds("bounds.stop_timeout_ms"),
						Duration.ofMillis((long) (file.number(seconds, Double::parseDouble) * 1_000)),
						file.number("bounds.remote_penalty", Double::parseDouble),
						file.milliseconds("bounds.interference_ms"), file.milliseconds("bounds.cancel_ms"),
						Duration.ofSeconds((long) file.number("bounds.status_s", Double::parseDouble)),
						(int) file.number("platform.row_bytes", Double::parseDouble)));
		file.throwFaults();
		return settings;
	}

}
