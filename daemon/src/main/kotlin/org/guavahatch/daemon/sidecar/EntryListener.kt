package org.guavahatch.daemon.sidecar

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import org.guavahatch.daemon.configuration.ConfigurationWatcher
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.daemon.settings.SidecarSettings
import org.guavahatch.daemon.transport.ConnectionError
import org.guavahatch.daemon.transport.Handshake
import org.guavahatch.daemon.transport.PeerConnection
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.Acknowledge
import org.guavahatch.protocol.message.ConfigurationContent
import org.guavahatch.protocol.message.Digest
import org.guavahatch.protocol.message.Heartbeat
import org.guavahatch.protocol.message.Hello
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.PROTOCOL_VERSION
import org.guavahatch.protocol.message.ProcessRole
import org.guavahatch.protocol.message.RequestMessage
import org.guavahatch.protocol.message.Straggling
import org.tinylog.kotlin.Logger

/** Accepts connections from entry instances and receives their messages. */
internal class EntryListener(
    private val settings: SidecarSettings,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val connections: EntryConnections,
    private val control: SidecarControl,
    private val executions: Executions,
    private val watcher: ConfigurationWatcher,
    private val appliedVersion: () -> ConfigurationVersion,
    private val handshake: Handshake,
    private val metrics: DaemonMetrics,
    private val scope: CoroutineScope,
) {
    private val selector = SelectorManager(Dispatchers.IO)

    /** Binds the port and accepts connections until the scope is cancelled. */
    suspend fun start() {
        val server = aSocket(selector).tcp().bind(settings.host, settings.innerPort) { reuseAddress = true }
        scope.launch {
            while (true) {
                val socket = server.accept()
                launch { serve(socket) }
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val connection = PeerConnection(socket, clock)
        val writer = scope.launch { connection.writeQueued() }
        try {
            when (val result = handshake.perform(connection, ::hello)) {
                is Either.Left -> reportConnectionEnd(result.value)
                is Either.Right -> serveEntry(connection, result.value)
            }
        } finally {
            connection.close()
            writer.cancelAndJoin()
        }
    }

    private fun hello(challenge: String) = Hello(
        protocolVersion = PROTOCOL_VERSION,
        role = ProcessRole.SIDECAR,
        name = settings.name,
        incarnation = incarnation,
        zone = settings.zone,
        configuration = appliedVersion(),
        challenge = challenge,
    )

    private suspend fun serveEntry(connection: PeerConnection, hello: Hello) {
        val entry = hello.incarnation
        val replaced = connections.set(entry, EntryConnection(hello.name, connection))
        control.onConnected(entry, replaced)
        metrics.count(DaemonCounter.CONNECTIONS, "entry")
        Logger.info("event=entry-connected entry={} incarnation={} peer={}", hello.name, entry, connection.peer)
        if (control.isStraggling) connection.send(Straggling(isStraggling = true))
        val keepAlive = scope.launch { keepAlive(connection) }
        try {
            receive(entry, connection)
        } finally {
            stopServing(entry, connection, keepAlive)
        }
    }

    /** Sends heartbeats. A changed digest is sent with the next heartbeat, an unchanged one with every tenth. */
    private suspend fun keepAlive(connection: PeerConnection) {
        var lastSent: Digest? = null
        var heartbeats = 0
        connection.keepAlive(settings.heartbeatMilliseconds, settings.silenceMilliseconds) {
            val digest = control.digest
            val isDue = digest != lastSent || heartbeats++ % HEARTBEATS_PER_UNCHANGED_DIGEST == 0
            lastSent = digest
            listOfNotNull(Heartbeat(appliedVersion()), digest.takeIf { isDue })
        }
    }

    private suspend fun receive(entry: Incarnation, connection: PeerConnection) {
        while (true) {
            when (val received = connection.receive("receive from entry instance")) {
                is Either.Left -> return reportConnectionEnd(received.value)
                is Either.Right -> handle(entry, connection, received.value)
            }
        }
    }

    private fun handle(entry: Incarnation, connection: PeerConnection, message: Message) {
        when (message) {
            is Heartbeat -> watcher.contentFor(message.configuration)?.let(connection::send)
            is ConfigurationContent -> watcher.onPeerContent(message)
            is Acknowledge -> acknowledge(entry, connection, message)
            is RequestMessage -> control.onMessage(entry, connection, message)
            else -> metrics.count(DaemonCounter.FRAMES_DROPPED, "unexpected")
        }
    }

    private fun acknowledge(entry: Incarnation, connection: PeerConnection, message: Acknowledge) {
        executions.acknowledge(message.requestId, message.attempt, message.offset)
        if (message.isFinal) control.onMessage(entry, connection, message)
    }

    private fun stopServing(entry: Incarnation, connection: PeerConnection, keepAlive: Job) {
        keepAlive.cancel()
        val wasCurrent = connections.remove(entry, connection)
        if (wasCurrent) control.onDisconnected(entry)
        Logger.info("event=entry-disconnected incarnation={} replaced={}", entry, !wasCurrent)
    }

    private fun reportConnectionEnd(error: ConnectionError) {
        val cause = error.javaClass.simpleName.lowercase()
        metrics.count(DaemonCounter.CONNECTIONS_ENDED, cause)
        if (error !is ConnectionError.Closed) {
            Logger.warn("event=connection-refused step={} peer={} detail={}", error.step, error.peer, error.detail)
        }
    }

    private companion object {
        const val HEARTBEATS_PER_UNCHANGED_DIGEST = 10
    }
}
