package org.crocuspost.cli;

import java.io.PrintWriter;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import io.vavr.control.Either;
import org.crocuspost.daemon.BuildVersion;
import org.crocuspost.settings.OperatorSettings;
import org.jspecify.annotations.Nullable;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/**
 * Implements the command {@code crocuspost}, the parent of all others.
 */
@Command(name = "crocuspost", description = "Operates a crocuspost deployment through release notes.",
		mixinStandardHelpOptions = true, scope = ScopeType.INHERIT, versionProvider = BuildVersion.class,
		synopsisSubcommandLabel = "COMMAND", subcommands = { NoteCommand.class, ExplainCommand.class,
				ReportCommand.class, EventsCommand.class, GenerateCompletion.class, HelpCommand.class })
final class OperatorCommand {

	private final Map<String, String> environment;

	private final PollDelay pollDelay;

	@Mixin
	private final ConnectionOptions connection = new ConnectionOptions();

	@Option(names = "--output", paramLabel = "FORMAT", scope = ScopeType.INHERIT, defaultValue = "table",
			description = "Output format: ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}.")
	private OutputFormat format = OutputFormat.table;

	@Spec
	private @Nullable CommandSpec spec;

	OperatorCommand(Map<String, String> environment, PollDelay pollDelay) {
		this.environment = environment;
		this.pollDelay = pollDelay;
	}

	@Command(name = "status", description = "Prints a summary of the state of the deployment.")
	int status() {
		return get("/status");
	}

	@Command(name = "services", description = "Lists the services.")
	int services() {
		return get("/services");
	}

	@Command(name = "endpoints", description = "Lists the endpoints that have been announced to the entry.")
	int endpoints() {
		return get("/endpoints");
	}

	@Command(name = "domains", description = "Lists the failure domains and whether each is out of service.")
	int domains() {
		return get("/domains");
	}

	@Command(name = "workers", description = "Lists the workers.")
	int workers() {
		return get("/workers");
	}

	@Command(name = "jobs", description = "Lists the batch jobs with their progress.")
	int jobs() {
		return get("/jobs");
	}

	@Command(name = "tasks", description = "Lists the batch tasks.")
	int tasks() {
		return get("/tasks");
	}

	private int get(String path) {
		return run((session) -> session.show(session.client().get(path)));
	}

	/**
	 * Runs an action with a connection to the entries.
	 * @param action the action
	 * @return the exit code
	 */
	int run(Function<OperatorSession, ExitCode> action) {
		Either<String, OperatorSettings> settings = this.connection.resolve(this.environment);
		if (settings.isLeft()) {
			return usageError(settings.getLeft());
		}
		try (OperatorClient client = new OperatorClient(settings.get())) {
			return action.apply(session(client)).code();
		}
	}

	/**
	 * Returns the connection settings from the options and the environment.
	 * @return the settings; empty if an entry or the token is missing or invalid
	 */
	Optional<OperatorSettings> connectionSettings() {
		return this.connection.resolve(this.environment).toJavaOptional();
	}

	PrintWriter output() {
		return commandLine().getOut();
	}

	int usageError(String message) {
		commandLine().getErr().println(message);
		commandLine().getErr().flush();
		return ExitCode.USAGE.code();
	}

	boolean json() {
		return this.format == OutputFormat.json;
	}

	CommandLine commandLine() {
		return Objects.requireNonNull(this.spec).commandLine();
	}

	private OperatorSession session(OperatorClient client) {
		return new OperatorSession(client, this.format, commandLine().getOut(), commandLine().getErr(), this.pollDelay);
	}

}
