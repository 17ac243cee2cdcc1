package gentiandale.relay

import gentiandale.core.Address
import gentiandale.core.DataCentreId
import gentiandale.core.Incarnation
import gentiandale.core.ServerId
import gentiandale.core.ServerKind
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.BackendState
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion

internal val SERVICE = ServiceName("drafts")
internal val HOME = DataCentreId("home")

internal fun rowOf(
    id: String,
    kind: ServerKind = ServerKind.PLAIN,
    port: Int = 80,
    dataCentre: DataCentreId = HOME,
    state: BackendState = BackendState.READY,
    sequence: Long = 1,
    software: String = "",
) = BackendRow(
    id = ServerId(id),
    incarnation = Incarnation(1),
    sequence = sequence,
    service = SERVICE,
    address = Address("127.0.0.1", port),
    dataCentre = dataCentre,
    state = state,
    kind = kind,
    places = 8,
    software = SoftwareVersion(software),
)
