package org.guavahatch.daemon

import arrow.core.Either
import org.guavahatch.daemon.settings.GatewaySettingsReader
import org.guavahatch.daemon.settings.SettingsMerge
import org.guavahatch.model.time.SystemClock
import org.guavahatch.platform.PlatformGateway
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.random.Random
import kotlin.system.exitProcess

/** Runs a gateway. It uses none of the classes of the other roles, so that it starts in a fraction of a second. */
internal object GatewayMain {
    private const val EXIT_START_FAILURE = 1
    private const val EXIT_USAGE = 2
    private const val INCARNATION_RADIX = 36

    /** Long enough for the first store requests to fail and the first datagrams to be sent. */
    private const val REHEARSAL_MILLISECONDS = 1_000L

    @Volatile
    private var watcher: SettingsWatcher? = null

    /** Runs the gateway until SIGTERM. */
    fun run(arguments: DaemonArguments) {
        // Without a handler, SIGHUP terminates the JVM. The signal may arrive during startup.
        Signal.handle(Signal("HUP")) { watcher?.check("signal") }
        // The gateway logs JSON objects, so lines need no prefix. The other roles use the format in tinylog.properties.
        System.setProperty("tinylog.writer.format", "{message}")
        System.setProperty("tinylog.writer.stream", "out")
        val reader = GatewaySettingsReader(System.getenv(SettingsMerge.VARIABLE))
        val settings = when (val read = reader.read(Path.of(arguments.settings))) {
            is Either.Left -> {
                System.err.println(read.value)
                exitProcess(EXIT_USAGE)
            }
            is Either.Right -> read.value
        }
        if (arguments.isCheckOnly) return
        val incarnation = Random(System.nanoTime()).nextLong(Long.MAX_VALUE).toString(INCARNATION_RADIX)
        val gateway = PlatformGateway(settings, incarnation, SystemClock)
        val guard = EventLoopGuard(gateway::isEventLoopRunning, gateway.log)
        guard.watchThreads()
        startOrExit(gateway)
        if (arguments.isRehearsal) rehearse()
        watcher = SettingsWatcher(Path.of(arguments.settings), settings, reader::read, gateway.log).also { it.start() }
        val stopped = CountDownLatch(1)
        Signal.handle(Signal("TERM")) {
            Thread {
                gateway.stop()
                stopped.countDown()
            }.start()
        }
        guard.awaitStop(stopped)
        exitProcess(0)
    }

    /**
     * Starts [gateway], or exits if it cannot listen, so that it is restarted. Without the explicit exit, its other
     * threads would keep the process alive.
     */
    private fun startOrExit(gateway: PlatformGateway) = try {
        gateway.start()
    } catch (exception: IOException) {
        gateway.log.write("process.failed") {
            put("step", "start")
            put("reason", exception.message ?: exception.javaClass.simpleName)
        }
        gateway.log.flush()
        exitProcess(EXIT_START_FAILURE)
    }

    /** Runs the gateway for a moment and loads its remaining classes, for the class archive. */
    private fun rehearse(): Nothing {
        Thread.sleep(REHEARSAL_MILLISECONDS)
        println("${ClassPreloader.load()} classes were loaded")
        exitProcess(0)
    }
}
