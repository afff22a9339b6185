package org.guavahatch.standins.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.Serializable
import org.guavahatch.standins.Subcommand
import org.guavahatch.standins.web.receiveJson
import org.guavahatch.standins.web.respondJson
import org.guavahatch.standins.web.standInServer
import org.kohsuke.args4j.Option
import java.util.concurrent.ConcurrentHashMap

/** Faults of all services; body of `PUT /faults`. A service that is left out has no fault. */
@Serializable
internal data class PlatformFaults(
    val table: ServiceFault = ServiceFault(),
    val objects: ServiceFault = ServiceFault(),
    val instances: ServiceFault = ServiceFault(),
)

/**
 * Subcommand `platform`: serves a simulated platform with a transactional table, an object store and an instance
 * list.
 */
internal class PlatformMain : Subcommand {
    @Option(name = "--port", required = true, usage = "port on the loopback address")
    private var port = 0

    @Option(name = "--list-lag-milliseconds", usage = "age of the instance list")
    private var listLagMilliseconds = 2000L

    private val table = Table()
    private val objects = ConcurrentHashMap<String, String>()
    private val tableFaults = FaultInjector()
    private val objectFaults = FaultInjector()
    private val instanceFaults = FaultInjector()

    override fun run() {
        val instances = ListedInstances(listLagMilliseconds)
        standInServer(port) {
            tableRoutes()
            objectRoutes()
            instanceRoutes(instances)
            put("/faults") { setFaults(call) }
            get("/statistics") { call.respondJson(table.transactionCount) }
        }.start(wait = true)
    }

    private fun Routing.tableRoutes() {
        get("/table/row") {
            tableFaults.serve(call) {
                val row = table.read(call.request.queryParameters["key"].orEmpty())
                suspend { respondOrNotFound(call, row) }
            }
        }
        get("/table/rows") {
            tableFaults.serve(call) {
                val rows = table.list(call.request.queryParameters["prefix"].orEmpty())
                suspend { call.respondJson(rows) }
            }
        }
        post("/table/transaction") {
            val transaction = call.receiveJson<Transaction>()
            tableFaults.serve(call) {
                val failed = table.apply(transaction)
                val status = if (failed.isEmpty()) HttpStatusCode.OK else HttpStatusCode.Conflict
                suspend { call.respondJson(Rejection(failed), status) }
            }
        }
    }

    private suspend fun respondOrNotFound(call: ApplicationCall, row: StoredRow?) {
        if (row == null) call.respondJson("none", HttpStatusCode.NotFound) else call.respondJson(row)
    }

    private fun Routing.objectRoutes() {
        get("/objects/{key...}") {
            objectFaults.serve(call) {
                val content = objects[objectKey(call)]
                suspend {
                    if (content == null) {
                        call.respondJson("none", HttpStatusCode.NotFound)
                    } else {
                        call.respondText(content, ContentType.Text.Plain)
                    }
                }
            }
        }
        put("/objects/{key...}") {
            val content = call.receiveText()
            objectFaults.serve(call) {
                val isNew = objects.putIfAbsent(objectKey(call), content) == null
                suspend {
                    call.respondJson(isNew, if (isNew) HttpStatusCode.Created else HttpStatusCode.PreconditionFailed)
                }
            }
        }
    }

    private fun objectKey(call: ApplicationCall) = call.parameters.getAll("key").orEmpty().joinToString("/")

    private fun Routing.instanceRoutes(instances: ListedInstances) {
        get("/instances/{deployment}") {
            instanceFaults.serve(call) {
                val listed = instances.get(call.parameters["deployment"].orEmpty(), System.currentTimeMillis())
                suspend { call.respondJson(listed) }
            }
        }
        put("/instances/{deployment}") {
            val listed = call.receiveJson<List<ListedInstance>>()
            instances.set(call.parameters["deployment"].orEmpty(), listed, System.currentTimeMillis())
            call.respondJson(listed.size)
        }
    }

    /** Replaces the faults of all services. */
    private suspend fun setFaults(call: ApplicationCall) {
        val faults = call.receiveJson<PlatformFaults>()
        tableFaults.fault = faults.table
        objectFaults.fault = faults.objects
        instanceFaults.fault = faults.instances
        call.respondJson(faults)
    }
}
