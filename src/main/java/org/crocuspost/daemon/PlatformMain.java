package org.crocuspost.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.crocuspost.log.Field;
import org.crocuspost.standin.Pause;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.server.NamedWorker;
import org.crocuspost.standin.server.PlatformServer;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.standin.worker.TaskBehavior;
import org.crocuspost.standin.worker.WorkerStandIn;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Serves stand-ins for the platform on loopback, so that separate processes can be tried
 * on one machine.
 */
@Command(name = "crocuspost-platform", mixinStandardHelpOptions = true, versionProvider = BuildVersion.class,
		description = "Serves stand-ins for the platform on 127.0.0.1, for trials on one machine.",
		exitCodeOnInvalidInput = DaemonCommand.EXIT_INVALID_INPUT)
public final class PlatformMain implements Callable<Integer> {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int NETWORK_THREADS = 2;

	@Option(names = "--port", paramLabel = "PORT", defaultValue = "7100",
			description = "Port of the table service, the object store and the worker runtimes. "
					+ "Default: ${DEFAULT-VALUE}.")
	private int port;

	@Option(names = "--worker", paramLabel = "NAME", description = "Name of a worker; may be repeated.")
	private List<String> workers = List.of();

	@Option(names = "--endpoint", paramLabel = "PORT", description = "Port of an endpoint; may be repeated.")
	private List<Integer> endpoints = List.of();

	@Option(names = "--run-time", paramLabel = "DURATION", defaultValue = "PT10S",
			description = "How long every task truly runs. Default: ${DEFAULT-VALUE}.")
	private Duration runTime = Duration.ofSeconds(10);

	/**
	 * Runs the command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new PlatformMain()).execute(arguments));
	}

	@Override
	public Integer call() {
		ProcessContext context = new ProcessContext("platform", NETWORK_THREADS);
		Pause pause = Pause.on(context.timer());
		List<NamedWorker> runtimes = this.workers.stream().map((name) -> worker(name, context)).toList();
		PlatformServer server = PlatformServer.start(new InetSocketAddress(LOOPBACK, this.port),
				new TableStandIn(pause), new ObjectStandIn(pause), runtimes);
		List<EndpointStandIn> started = new ArrayList<>();
		this.endpoints.forEach(
				(endpointPort) -> started.add(new EndpointStandIn(context.eventLoopGroup(), context.timer(), endpointPort)));
		DaemonCommand.logReady(Field.of("platform", server.url()), Field.of("endpoints", this.endpoints));
		DaemonCommand.runUntilTerminated(() -> {
			started.forEach(EndpointStandIn::close);
			server.close();
			context.close();
		});
		return CommandLine.ExitCode.OK;
	}

	private NamedWorker worker(String name, ProcessContext context) {
		return new NamedWorker(name, new WorkerStandIn(name, context.clock(),
				(start) -> new TaskBehavior(this.runTime, start.resources(), false)));
	}

}
