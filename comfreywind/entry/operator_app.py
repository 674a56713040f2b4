"""HTTP API for operators."""

import hmac
import logging
from operator import itemgetter
from urllib.parse import unquote

from comfreywind.bundle.rules import PoolRules
from comfreywind.control.control_view import ControlView
from comfreywind.decisions.keys import hash_secret
from comfreywind.entry.confirmations import Confirmations
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.header_rules import find_header
from comfreywind.entry.member_status import MemberStatus
from comfreywind.entry.operations import Operations
from comfreywind.entry.propagation import Propagation
from comfreywind.entry.rules_view import RulesView
from comfreywind.errors import BundleError, OperationRefusedError, PlatformError
from comfreywind.http.asgi_body import BodyMalformedError, read_json
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.http.routes import HttpCall, find_route, make_route
from comfreywind.platform.table_names import TABLE_BUDGETS, TABLE_CONTROL, TABLE_VMS
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.report.burn_codec import encode_burn_report
from comfreywind.report.burn_reporter import BurnReporter
from comfreywind.report.explainer import Explainer

EXPLAINED_KINDS = ('vm', 'request', 'team', 'pool')
EXPLAINED_TABLES = {'vm': TABLE_VMS, 'pool': TABLE_BUDGETS}
BODY_LIMIT_BYTES = 4_194_304
BAD_REQUEST_ERRORS = (BodyMalformedError, BundleError, KeyError, ValueError)

log = logging.getLogger('comfreywind.operator')


class OperatorApp:
    """ASGI app of the operator API; every request must carry the operator token."""

    def __init__(
        self,
        entry_name: str,
        token_sha256: str,
        operations: Operations,
        rules_view: RulesView,
        fleet_view: FleetView,
        burn_reporter: BurnReporter,
        propagation: Propagation,
        confirmations: Confirmations,
        member_status: MemberStatus,
        control_view: ControlView,
        explainer: Explainer,
    ) -> None:
        """Accept the token with the hash `token_sha256`."""
        self._entry_name = entry_name
        self._token_sha256 = token_sha256
        self._operations = operations
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._burn_reporter = burn_reporter
        self._propagation = propagation
        self._confirmations = confirmations
        self._member_status = member_status
        self._control_view = control_view
        self._explainer = explainer
        self._routes = [
            make_route('GET', '/v1/status', self._get_status),
            make_route('GET', '/v1/pools', self._get_pools),
            make_route('GET', '/v1/vms', self._get_vms),
            make_route('GET', '/v1/teams', self._get_teams),
            make_route('GET', '/v1/report/burn', self._get_burn),
            make_route('GET', '/v1/explain/{kind}/{name}', self._get_explanation),
            make_route('POST', '/v1/bundles', self._post_bundle),
            make_route('POST', '/v1/bundles/{version}/sign-off', self._post_sign_off),
            make_route('POST', '/v1/bundles/{version}/roll-out', self._post_roll_out),
            make_route('POST', '/v1/keys', self._post_key),
            make_route('DELETE', '/v1/keys/{key_id}', self._delete_key),
        ]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Authenticate and route one request, and convert errors to responses."""
        if not self._has_operator_token(find_header(scope['headers'], b'authorization')):
            await send_json(send, 401, {'error': 'the operator token is missing or wrong'})
            return
        matched = find_route(self._routes, scope['method'], scope['path'])
        if matched is None:
            await send_json(send, 404, {'error': 'unknown path or method'})
            return
        route, path_parts = matched
        try:
            await route.endpoint(HttpCall(scope, receive, send, path_parts))
        except BAD_REQUEST_ERRORS as error:
            await send_json(send, 400, {'error': str(error)})
        except OperationRefusedError as error:
            await send_json(send, 409, {'error': str(error)})
        except PlatformError as error:
            log.warning('operator request failed, answering with 503: %s', error)
            await send_json(send, 503, {'error': f'the platform gave no answer: {error}'})

    def _has_operator_token(self, authorization: str) -> bool:
        token = authorization.removeprefix('Bearer ')
        return hmac.compare_digest(hash_secret(token), self._token_sha256)

    async def _get_status(self, call: HttpCall) -> None:
        rules = self._rules_view.rules
        status = {
            'entry': self._entry_name,
            'bundle_version': rules.version if rules else None,
            'sequence': self._rules_view.sequence,
            'keys_count': len(self._rules_view.keys),
            'fresh': self._rules_view.is_fresh(),
            'members': self._member_status.list_members(),
            'peer_sent_bytes': self._member_status.count_sent_bytes(),
        }
        await send_json(call.send, 200, status)

    async def _get_pools(self, call: HttpCall) -> None:
        rules = self._rules_view.rules
        pools = [self._describe_pool(pool) for pool in rules.pools.values()] if rules else []
        await send_json(call.send, 200, {'pools': sorted(pools, key=itemgetter('name'))})

    async def _get_vms(self, call: HttpCall) -> None:
        vms = [self._describe_vm(vm) for vm in self._fleet_view.list_vms()]
        await send_json(call.send, 200, {'vms': sorted(vms, key=itemgetter('name'))})

    async def _get_explanation(self, call: HttpCall) -> None:
        kind = call.path_parts['kind']
        name = unquote(call.path_parts['name'])
        if kind not in EXPLAINED_KINDS:
            raise ValueError(f'kind is one of {", ".join(EXPLAINED_KINDS)}')
        explanation = await self._explainer.explain(kind, name)
        table = EXPLAINED_TABLES.get(kind)
        state = self._control_view.read_fields(table, name) if table else {}
        await send_json(call.send, 200, {**explanation, 'state': state})

    async def _get_teams(self, call: HttpCall) -> None:
        rules = self._rules_view.rules
        known_teams = rules.teams.values() if rules else ()
        teams = [
            {'name': team.name, 'weight': team.weight, 'ceiling_units': team.ceiling_units}
            for team in known_teams
        ]
        await send_json(call.send, 200, {'teams': teams})

    async def _get_burn(self, call: HttpCall) -> None:
        rules = self._rules_view.rules
        report = await self._burn_reporter.make_report(rules.objectives if rules else ())
        await send_json(call.send, 200, encode_burn_report(report))

    async def _post_bundle(self, call: HttpCall) -> None:
        document = await read_json(call.receive, BODY_LIMIT_BYTES)
        version = int(document['version'])
        digest = await self._operations.create_version(version, document['bundle'])
        await send_json(call.send, 201, {'version': version, 'digest': digest})

    async def _post_sign_off(self, call: HttpCall) -> None:
        version = int(call.path_parts['version'])
        await self._operations.sign_off(version)
        await send_json(call.send, 200, {'version': version, 'state': 'signed-off'})

    async def _post_roll_out(self, call: HttpCall) -> None:
        version = int(call.path_parts['version'])
        offer = await self._operations.roll_out(version)
        self._propagation.announce_bundle(offer)
        confirmation_lists = await self._confirmations.wait_for_bundle(version)
        await send_json(
            call.send, 200, {'version': version, 'state': 'accepted', **confirmation_lists}
        )

    async def _post_key(self, call: HttpCall) -> None:
        document = await read_json(call.receive, BODY_LIMIT_BYTES)
        key, team_key = await self._operations.grant_key(str(document['team']))
        self._propagation.announce_key(team_key)
        await send_json(call.send, 201, {'key_id': key.key_id, 'key': key.text})

    async def _delete_key(self, call: HttpCall) -> None:
        key = await self._operations.withdraw_key(call.path_parts['key_id'])
        self._propagation.announce_key(key)
        confirmation_lists = await self._confirmations.wait_for_keys()
        reply = {'key_id': key.key_id, 'state': 'withdrawn', **confirmation_lists}
        await send_json(call.send, 200, reply)

    def _describe_pool(self, pool: PoolRules) -> dict[str, object]:
        holder = self._control_view.read_fields(TABLE_CONTROL, pool.name).get('holder')
        return {
            'name': pool.name,
            'spare': pool.spare,
            'usable_vms': len(self._fleet_view.list_usable(pool.name)),
            'held_by': holder,
            **self._control_view.read_fields(TABLE_BUDGETS, pool.name),
        }

    def _describe_vm(self, vm: VmEntry) -> dict[str, object]:
        fields = self._control_view.read_fields(TABLE_VMS, vm.name)
        return {
            'name': vm.name,
            'pool': self._fleet_view.get_pool(vm),
            'state': fields.get('state', 'no row'),
            'home_pool': fields.get('home_pool', vm.pool),
            'move_to': fields.get('move_to'),
            'rack': vm.rack,
            'data_centre': vm.data_centre,
            'listed': vm.state,
            'incarnation': vm.incarnation,
            'last_maintained_s': fields.get('last_maintained_s'),
        }
