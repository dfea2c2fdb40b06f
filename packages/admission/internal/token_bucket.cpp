#include "admission/token_bucket.h"

#include <algorithm>

namespace poplarfront::admission {

double token_bucket::balance(kernel::time_point now) {
    const double elapsed = std::chrono::duration<double>(now - updated_).count();
    tokens_ = std::min(tokens_ + rate_ * elapsed, burst_);
    updated_ = now;
    return tokens_;
}

void token_bucket::take(double tokens, kernel::time_point now) {
    tokens_ = balance(now) - tokens;
}

void token_bucket::refund(double tokens, kernel::time_point now) {
    tokens_ = std::min(balance(now) + tokens, burst_);
}

void token_bucket::change(double rate, double burst, kernel::time_point now) {
    tokens_ = std::min(balance(now), burst);
    rate_ = rate;
    burst_ = burst;
}

}  // namespace poplarfront::admission
