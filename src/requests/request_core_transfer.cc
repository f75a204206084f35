#include <utility>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

// A transfer keeps its slot between two blocks for at most this long.
constexpr absl::Duration kTransferSlotHold = absl::Seconds(5);

// True if the transfer continues after this request and response.
bool HasMoreBlocks(const coap_message& request, const coap_message& response) {
  const auto sent = FindBlock(request, option_number::kBlock1);
  const auto got = FindBlock(response, option_number::kBlock2);
  const bool has_more_upload = sent && sent->more;
  const bool has_more_download = got && got->more;
  return IsSuccess(response) && (has_more_upload || has_more_download);
}

}  // namespace

bool request_core::ContinueTransfer(caller_request* request, absl::Time now) {
  const auto block1 = FindBlock(request->message, option_number::kBlock1);
  const auto block2 = FindBlock(request->message, option_number::kBlock2);
  if (!block1 && !block2) {
    return false;
  }
  const uint32_t number = block2 && block2->number > 0 ? block2->number
                          : block1                     ? block1->number
                                                       : 0;
  block_transfer* transfer =
      transfers_.Find(request->flow, TransferKey(request->message));
  const bool upload = block1 && block1->number == number;
  if (transfer == nullptr) {
    if (upload && number > 0) {
      Refuse(*request, kRequestIncompleteCode,
             decision_reason::kTransferUnknown, now);
    }
    return upload && number > 0;
  }
  const bool repeated =
      number == transfer->last_block && upload == transfer->is_upload &&
      (number > 0 ||
       (!transfer->echo.empty() &&
        transfer->echo == OptionValue(request->message, option_number::kEcho)));
  if (repeated) {
    if (transfer->last_answer) {
      SendAnswer(*request, *transfer->last_answer, now);
    } else {
      flows_[request->flow].seen.Forget(request->message.id);
    }
    return true;
  }
  if (number == 0) {
    EndTransfer(transfer->id, MakeRunUnknownAnswer(), now);
    return false;
  }
  if (upload && number != transfer->last_block + 1) {
    Refuse(*request, kRequestIncompleteCode, decision_reason::kTransferUnknown,
           now);
    return true;
  }
  if (transfer->inherited && (upload || transfer->etag.empty())) {
    EndTransfer(transfer->id, MakeRunUnknownAnswer(), now);
    Refuse(*request, kRequestIncompleteCode, decision_reason::kTransferChanged,
           now);
    return true;
  }
  transfer->last_block = number;
  transfer->is_upload = upload;
  ResumeTransfer(transfer, std::move(*request), now);
  return true;
}

void request_core::ResumeTransfer(block_transfer* transfer,
                                  caller_request request, absl::Time now) {
  transfer->last_answer.reset();
  request.transfer = transfer->id;
  request.resumed = true;
  const bool had_slot = transfers_.ReclaimSlot(transfer);
  const bool was_open = transfer->is_open;
  transfer->is_open = false;
  timers_.Cancel({timer_kind::kTransferIdle, transfer->id});
  timers_.Set({timer_kind::kTransferExpiry, transfer->id},
              now + kExchangeLifetime);
  caller_request* added = AddRequest(std::move(request));
  timers_.Set({timer_kind::kAcknowledge, added->id}, now + kAcknowledgeDelay);
  if (was_open) {
    DecrementInFlight(added->flow);
  }
  if (had_slot) {
    added->holds_slot = true;
    Start(added, now);
  } else {
    Enqueue(added, now);
  }
}

void request_core::UpdateTransfer(caller_request* request,
                                  const coap_message& response,
                                  absl::Time now) {
  block_transfer* transfer = transfers_.Find(request->transfer);
  if (!HasMoreBlocks(request->message, response)) {
    if (transfer != nullptr) {
      request->echo.clear();
      EndTransfer(transfer->id, response, now);
    }
    return;
  }
  if (transfer == nullptr) {
    block_transfer added;
    added.id = next_id_++;
    added.flow = request->flow;
    added.key = TransferKey(request->message);
    added.place = legs_.PlaceOf(HashOf(request->flow));
    transfer = transfers_.Add(added);
  }
  const auto sent = FindBlock(request->message, option_number::kBlock1);
  if (transfer->is_upload && sent && sent->more) {
    request->echo.clear();
  }
  transfer->last_answer = response;
  if (request->holds_slot && !transfer->holds_slot) {
    request->holds_slot = false;
    transfers_.KeepSlot(transfer, now);
  }
  if (!transfer->is_open) {
    transfer->is_open = true;
    ++flows_[request->flow].in_flight;
  }
  timers_.Set({timer_kind::kTransferIdle, transfer->id},
              now + kTransferSlotHold);
  timers_.Set({timer_kind::kTransferExpiry, transfer->id},
              now + kExchangeLifetime);
}

bool request_core::FailIfRepresentationChanged(const caller_request& request,
                                               const coap_message& response,
                                               absl::Time now) {
  const block_transfer* transfer = transfers_.Find(request.transfer);
  if (transfer == nullptr || !transfer->inherited || !IsSuccess(response) ||
      ContinuesRepresentation(*transfer, request.message, response)) {
    return false;
  }
  const uint64_t id = transfer->id;
  Finish(request.id, MakeRefusal(kRequestIncompleteCode),
         decision_kind::kRefused, decision_reason::kTransferChanged, now);
  EndTransfer(id, MakeRunUnknownAnswer(), now);
  return true;
}

void request_core::EndTransfer(uint64_t id, const coap_message& answer,
                               absl::Time now) {
  block_transfer* transfer = transfers_.Find(id);
  if (transfer == nullptr) {
    return;
  }
  OnTransferIdle(id, now);
  timers_.Cancel({timer_kind::kTransferIdle, id});
  timers_.Cancel({timer_kind::kTransferExpiry, id});
  const std::string echo = transfer->echo;
  transfers_.Erase(id);
  if (!echo.empty()) {
    RecordRunAnswer(echo, answer, now);
  }
}

void request_core::OnTransferIdle(uint64_t id, absl::Time /*now*/) {
  block_transfer* transfer = transfers_.Find(id);
  if (transfer == nullptr) {
    return;
  }
  if (transfers_.ReclaimSlot(transfer)) {
    slots_.Release();
  }
  if (transfer->is_open) {
    transfer->is_open = false;
    DecrementInFlight(transfer->flow);
  }
}

bool request_core::ReclaimIdleSlot() {
  // The upstream runs nothing for a transfer between two blocks. Its slot may
  // only go to a request that was admitted earlier, which is never shed.
  while (!slots_.HasFree()) {
    block_transfer* idle = transfers_.LongestIdle();
    if (idle == nullptr || !queue_.HasResumed()) {
      return false;
    }
    transfers_.ReclaimSlot(idle);
    slots_.Release();
  }
  return true;
}

void request_core::OnTransferExpired(uint64_t id, absl::Time now) {
  EndTransfer(id, MakeRunUnknownAnswer(), now);
}

}  // namespace cardamomroute
