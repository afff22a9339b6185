package org.guavahatch.standins.launch

import kotlinx.serialization.builtins.ListSerializer
import org.guavahatch.standins.platform.ListedInstance
import org.guavahatch.standins.web.standInJson
import java.nio.file.Files
import java.nio.file.Path

/** Running endpoint with its sidecar. */
class RunningEndpoint internal constructor(
    internal val plan: PlannedEndpoint,
    val endpointPort: Int,
    innerPort: Int,
    listedPort: Int,
    adminPort: Int,
) {
    /** Port on which the sidecar accepts entry instances. */
    var innerPort: Int = innerPort
        private set

    /** Port of the sidecar in the instance list. */
    internal var listedPort: Int = listedPort
        private set

    /** Port on which the sidecar accepts operators. */
    var adminPort: Int = adminPort
        private set

    /** Sets the ports of a replacement sidecar; the instance list shows [newInnerPort] itself. */
    internal fun changePorts(newInnerPort: Int, newAdminPort: Int) {
        innerPort = newInnerPort
        listedPort = newInnerPort
        adminPort = newAdminPort
    }

    /** Name of the endpoint. */
    val name: String get() = plan.name

    /** Base URL of the stand-in. */
    val endpointUrl: String get() = "http://127.0.0.1:$endpointPort"

    /** Base URL of the sidecar for operators. */
    val adminUrl: String get() = "http://127.0.0.1:$adminPort"

    /** Process of the stand-in. */
    lateinit var endpoint: ManagedProcess
        internal set

    /** Process of the sidecar. */
    lateinit var sidecar: ManagedProcess
        internal set
}

/**
 * Running entry instance.
 *
 * @property name name of the entry instance
 * @property zone availability zone
 * @property callerPort port for callers
 * @property adminPort port for operators
 */
class RunningEntry internal constructor(val name: String, val zone: String, val callerPort: Int, val adminPort: Int) {
    /** Base URL for callers. */
    val url: String get() = "http://127.0.0.1:$callerPort"

    /** Base URL for operators. */
    val adminUrl: String get() = "http://127.0.0.1:$adminPort"

    /** Process of the entry instance. */
    lateinit var process: ManagedProcess
        internal set
}

/**
 * Running deployment on the loopback address: one process for each entry instance, sidecar and stand-in.
 */
class Deployment private constructor(
    private val plan: DeploymentPlan,
    private val platform: PlatformProcess,
    private val directory: Path,
) : AutoCloseable {
    /** All endpoints, in the order of the plan. */
    val endpoints: List<RunningEndpoint> =
        plan.endpoints.map { endpoint ->
            val innerPort = FreePorts.next()
            RunningEndpoint(endpoint, FreePorts.next(), innerPort, plan.listedPort(innerPort), FreePorts.next())
        }

    /** All entry instances. */
    val entries: List<RunningEntry> = List(plan.entryInstances) { index ->
        val zone = plan.zones[index % plan.zones.size]
        RunningEntry("${plan.name}-entry-${index + 1}", zone, FreePorts.next(), FreePorts.next())
    }

    /** Returns the endpoints of the endpoint pool [pool]. */
    fun endpointsOf(pool: String): List<RunningEndpoint> = endpoints.filter { it.plan.pool == pool }

    private fun startAll() {
        endpoints.forEach { startEndpoint(it) }
        endpoints.forEach { startSidecar(it) }
        entries.forEach { startEntry(it) }
        publishInstanceList()
    }

    /** Waits until all entry instances and sidecars answer operators; they are ready only with a configuration. */
    fun awaitStarted() {
        endpoints.forEach { awaitProcess(it.sidecar) { awaitAnswer(it.adminUrl) } }
        entries.forEach { awaitProcess(it.process) { awaitAnswer(it.adminUrl) } }
    }

    /** Waits until all processes are ready and each entry instance is connected to all sidecars. */
    fun awaitReady() {
        endpoints.forEach { awaitProcess(it.sidecar) { awaitReady(it.adminUrl) } }
        entries.forEach { awaitProcess(it.process) { awaitReady(it.adminUrl) } }
        entries.forEach { entry -> awaitConnections(entry) }
    }

    private fun awaitAnswer(adminUrl: String) = LocalHttp.awaitAnswer(adminUrl, START_TIMEOUT_MILLISECONDS)

    private fun awaitReady(adminUrl: String) = LocalHttp.awaitOk("$adminUrl/ready", START_TIMEOUT_MILLISECONDS)

    /** Adds the end of the log of [process] to the message if [await] fails. */
    private fun awaitProcess(process: ManagedProcess, await: () -> Unit) = try {
        await()
    } catch (exception: IllegalStateException) {
        val log = Files.readAllLines(directory.resolve("${process.name}.log")).takeLast(LOG_LINES).joinToString("\n")
        throw IllegalStateException("${process.name}, running: ${process.isRunning}, log:\n$log", exception)
    }

    private fun awaitConnections(entry: RunningEntry) {
        val deadline = System.nanoTime() + START_TIMEOUT_MILLISECONDS * NANOSECONDS_PER_MILLISECOND
        while (endpoints.any { "\"${it.name}\"" !in LocalHttp.get("${entry.adminUrl}/status").body() }) {
            check(System.nanoTime() < deadline) { "${entry.name} did not connect to all sidecars." }
            Thread.sleep(POLL_INTERVAL_MILLISECONDS)
        }
    }

    /** Starts or restarts the stand-in of [endpoint]; its records survive a restart. */
    fun startEndpoint(endpoint: RunningEndpoint) {
        val records = directory.resolve("${endpoint.name}.records").toString()
        val arguments = endpoint.plan.arguments +
            listOf("--port", endpoint.endpointPort.toString(), "--records-file", records)
        endpoint.endpoint = start("${endpoint.name}-endpoint", STAND_IN_MAIN_CLASS, arguments)
    }

    /** Starts or restarts the sidecar of [endpoint]. */
    fun startSidecar(endpoint: RunningEndpoint) {
        val settings = writeSettings("${endpoint.name}.jsonc", sidecarSettings(endpoint))
        endpoint.sidecar = start(endpoint.name, DAEMON_MAIN_CLASS, listOf("sidecar", "--settings", settings))
    }

    /**
     * Applies [strike], such as a kill, to the sidecar of [endpoint], then starts a replacement on other ports and
     * lists it instead. Returns the old process.
     */
    fun replaceSidecar(endpoint: RunningEndpoint, strike: (ManagedProcess) -> Unit): ManagedProcess {
        val old = endpoint.sidecar
        strike(old)
        endpoint.changePorts(FreePorts.next(), FreePorts.next())
        startSidecar(endpoint)
        publishInstanceList()
        return old
    }

    /** Starts or restarts [entry]. */
    fun startEntry(entry: RunningEntry) {
        val settings = writeSettings("${entry.name}.jsonc", entrySettings(entry))
        entry.process = start(entry.name, DAEMON_MAIN_CLASS, listOf("entry", "--settings", settings))
    }

    private fun start(name: String, mainClass: String, arguments: List<String>): ManagedProcess {
        val options =
            if (plan.optimizesForSpeed) ManagedProcess.MEASUREMENT_JVM_OPTIONS else ManagedProcess.SMALL_JVM_OPTIONS
        return ManagedProcess.start(name, directory.resolve("$name.log"), mainClass, arguments, options)
    }

    private fun writeSettings(file: String, text: String): String =
        Files.writeString(directory.resolve(file), text).toString()

    private fun sidecarSettings(endpoint: RunningEndpoint) = """
        {
          "name": "${endpoint.name}",
          "pool": "${endpoint.plan.pool}",
          "zone": "${endpoint.plan.zone}",
          "innerPort": ${endpoint.innerPort},
          "adminPort": ${endpoint.adminPort},
          "endpointUrl": "${endpoint.endpointUrl}",
          "platformUrl": "${platform.url}",
          ${plan.sidecarSettings}
          "sharedKeys": ["$SHARED_KEY"],
        }
    """.trimIndent()

    private fun entrySettings(entry: RunningEntry) = """
        {
          "name": "${entry.name}",
          "deployment": "${plan.name}",
          "zone": "${entry.zone}",
          "callerPort": ${entry.callerPort},
          "adminPort": ${entry.adminPort},
          "platformUrl": "${platform.url}",
          "readinessMilliseconds": 300,
          ${plan.entrySettings}
          "sharedKeys": ["$SHARED_KEY"],
        }
    """.trimIndent()

    /** Replaces the instance list of the platform with all sidecars except those of [without]. */
    fun publishInstanceList(without: Set<RunningEndpoint> = emptySet()) {
        val listed = (endpoints - without).map {
            ListedInstance(it.name, it.plan.pool, it.plan.zone, "127.0.0.1", it.listedPort)
        }
        val document = standInJson.encodeToString(ListSerializer(ListedInstance.serializer()), listed)
        LocalHttp.put("${platform.url}/instances/${plan.name}", document)
    }

    /** Runs the operator command line with [arguments] and waits for it to exit. */
    fun runOperatorCommand(vararg arguments: String): OperatorResult {
        val log = Files.createTempFile(directory, "operator", ".log")
        val options =
            if (plan.optimizesForSpeed) ManagedProcess.MEASUREMENT_JVM_OPTIONS else ManagedProcess.SMALL_JVM_OPTIONS
        val process = ManagedProcess.start("guavahatch", log, OPERATOR_MAIN_CLASS, arguments.toList(), options)
        return OperatorResult(process.awaitExitCode(), Files.readString(log))
    }

    /** Publishes the configuration in [file] as the successor of the current one. */
    fun publish(file: Path): OperatorResult =
        runOperatorCommand("publish", file.toString(), "--platform", platform.url, "--comment", "deployment")

    /**
     * Stops the entry instances, then the sidecars, gracefully, and kills the stand-ins. Returns false if an entry
     * instance or a sidecar had to be killed.
     */
    fun stopGracefully(): Boolean {
        val stoppedEntries = stop(entries.map { it.process })
        val stoppedSidecars = stop(endpoints.map { it.sidecar })
        endpoints.forEach { it.endpoint.kill() }
        return stoppedEntries && stoppedSidecars
    }

    private fun stop(processes: List<ManagedProcess>): Boolean {
        processes.forEach { it.terminate() }
        return processes.map {
            it.awaitExit(STOP_TIMEOUT_MILLISECONDS).also { hasExited -> if (!hasExited) it.kill() }
        }.all { it }
    }

    override fun close() {
        entries.forEach { it.process.kill() }
        endpoints.forEach {
            it.sidecar.kill()
            it.endpoint.kill()
        }
    }

    companion object {
        private const val SHARED_KEY = "a-shared-key-for-stand-ins"
        private const val STOP_TIMEOUT_MILLISECONDS = 30_000L
        private const val LOG_LINES = 10
        private const val POLL_INTERVAL_MILLISECONDS = 50L
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        /**
         * Starts the processes of [plan]; settings and logs are written to [directory]. They are not ready until a
         * configuration has been published.
         */
        fun start(plan: DeploymentPlan, platform: PlatformProcess, directory: Path): Deployment =
            Deployment(plan, platform, directory).also { it.startAll() }
    }
}

/**
 * Result of an operator command.
 *
 * @property exitCode exit code of the process
 * @property output standard output and standard error
 */
class OperatorResult internal constructor(val exitCode: Int, val output: String)
